/** Durable storage of the control log in files of one data folder. */
package io.sapphirestack.runtime.storage;
