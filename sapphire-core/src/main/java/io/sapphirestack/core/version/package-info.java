/** Counts of the responses of the versions of a service, as instances exchange them. */
package io.sapphirestack.core.version;
