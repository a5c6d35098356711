/** Configuration records and the typed specs that are read from them. */
package io.sapphirestack.core.record;
