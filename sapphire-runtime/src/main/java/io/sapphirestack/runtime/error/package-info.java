/** Base class of the checked exceptions of the runtime module. */
package io.sapphirestack.runtime.error;
