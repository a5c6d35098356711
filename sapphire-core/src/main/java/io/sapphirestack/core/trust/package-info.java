/** Hashing and verification of bearer keys. */
package io.sapphirestack.core.trust;
