/**
 * Decisions about the rollout of a new version of a service: whether an order starts, how much
 * traffic the version gets, and whether it is worse than the old version.
 */
package io.sapphirestack.core.rollout;
