/** Verification of bearer keys. */
package io.sapphirestack.core.trust;
