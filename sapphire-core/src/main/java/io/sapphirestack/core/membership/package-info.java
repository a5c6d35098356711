/** Announcements of endpoints and their dissemination among instances. */
package io.sapphirestack.core.membership;
