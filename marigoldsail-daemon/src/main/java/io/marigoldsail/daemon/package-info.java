/**
 * The daemon: reads the settings, creates the components of an entry or side process and runs them
 * until it is stopped.
 */
package io.marigoldsail.daemon;
