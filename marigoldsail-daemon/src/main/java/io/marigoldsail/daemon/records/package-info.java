/** Reading of the durable records of a partition. */
package io.marigoldsail.daemon.records;
