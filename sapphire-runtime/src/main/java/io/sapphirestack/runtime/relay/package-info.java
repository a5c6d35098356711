/**
 * HTTP relay that forwards the requests of callers to endpoints and resumes streams at another
 * endpoint when theirs fails.
 */
package io.sapphirestack.runtime.relay;
