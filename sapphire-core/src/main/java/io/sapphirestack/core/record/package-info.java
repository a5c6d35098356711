/** Configuration records and the typed specs into which they are converted. */
package io.sapphirestack.core.record;
