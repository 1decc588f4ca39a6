/** How the progress of a workflow is divided into records of the durable store. */
package io.marigoldsail.daemon.progress;
