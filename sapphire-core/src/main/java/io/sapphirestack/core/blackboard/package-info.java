/** Immutable shared state, published by one owner per part and read without locks. */
package io.sapphirestack.core.blackboard;
