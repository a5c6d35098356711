/** Root of the checked exceptions, and the description of a refused request. */
package io.sapphirestack.core.error;
