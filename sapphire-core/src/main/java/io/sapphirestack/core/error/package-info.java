/** Root of the checked exceptions and the description of refused work. */
package io.sapphirestack.core.error;
