/**
 * Which VM runs a task: room as measured, racks and zones, interference, and worker health.
 *
 * <p>Reach for {@link io.marigoldsail.placement.Placer} to choose a VM; {@link
 * io.marigoldsail.placement.FleetMedians} is what it chooses from.
 */
package io.marigoldsail.placement;
