/** Root of the checked exceptions of this module. */
package io.sapphirestack.runtime.error;
