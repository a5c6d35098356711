/** Orders and reads at plain services. */
package io.sapphirestack.runtime.order;
