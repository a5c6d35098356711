/** Durable storage of the control log on files under one data folder. */
package io.sapphirestack.runtime.storage;
