/**
 * Clocks as interfaces, so that everything that decides by time can be driven by a virtual clock.
 */
package io.marigoldsail.time;
