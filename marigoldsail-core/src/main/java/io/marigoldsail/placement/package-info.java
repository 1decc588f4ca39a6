/**
 * Placement of tasks on VMs by measured usage, racks and zones, interference, and worker health.
 *
 * <p>{@link io.marigoldsail.placement.Placer} chooses a VM of a {@link
 * io.marigoldsail.placement.Fleet}.
 */
package io.marigoldsail.placement;
