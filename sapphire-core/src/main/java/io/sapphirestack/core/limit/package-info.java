/** Limits of client accounts, the fair queue for waiting generations, and retry budgets. */
package io.sapphirestack.core.limit;
