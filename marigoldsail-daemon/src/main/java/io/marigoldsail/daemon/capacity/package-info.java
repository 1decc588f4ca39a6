/** Limits what a process keeps, and ends a process that is out of memory. */
package io.marigoldsail.daemon.capacity;
