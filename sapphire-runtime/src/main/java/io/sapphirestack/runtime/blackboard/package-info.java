/** The blackboard of one instance. */
package io.sapphirestack.runtime.blackboard;
