/** The blackboard of an instance: state that its controllers share. */
package io.sapphirestack.runtime.blackboard;
