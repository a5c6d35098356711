/**
 * HTTP client and server, event streams, address list and announcements shared by the stand-ins.
 */
package io.sapphirestack.standins.support;
