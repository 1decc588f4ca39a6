/** How messages that may be long are divided into frames, and joined again. */
package io.marigoldsail.daemon.frames;
