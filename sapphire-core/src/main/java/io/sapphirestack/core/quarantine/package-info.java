/** Detection and quarantine of prompt parts that crash the engines that answer them. */
package io.sapphirestack.core.quarantine;
