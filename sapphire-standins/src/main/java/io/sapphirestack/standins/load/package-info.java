/** Open-loop load command, with clients that check every token, order and read. */
package io.sapphirestack.standins.load;
