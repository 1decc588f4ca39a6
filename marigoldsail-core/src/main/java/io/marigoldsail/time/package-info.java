/** Clocks as interfaces, so that tests can drive time-dependent code with a virtual clock. */
package io.marigoldsail.time;
