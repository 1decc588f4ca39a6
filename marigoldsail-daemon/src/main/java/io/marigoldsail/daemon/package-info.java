/**
 * The daemon: reads its settings, builds the processes' parts and runs them until it is stopped.
 */
package io.marigoldsail.daemon;
