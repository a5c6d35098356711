/** Voter service of the control log and the client with which every instance follows it. */
package io.sapphirestack.runtime.control;
