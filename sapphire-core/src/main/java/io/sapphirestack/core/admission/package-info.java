/** Order and refusal of requests when the capacity of a service is insufficient. */
package io.sapphirestack.core.admission;
