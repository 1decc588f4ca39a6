/** Scheduling decisions of an owner that need no connection and no clock. */
package io.marigoldsail.daemon.scheduling;
