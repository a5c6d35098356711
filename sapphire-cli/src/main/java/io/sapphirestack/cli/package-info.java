/** Command line for operators and callers. */
package io.sapphirestack.cli;
