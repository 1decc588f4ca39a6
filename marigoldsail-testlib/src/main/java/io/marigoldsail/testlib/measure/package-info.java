/**
 * Measures the decision modules on a virtual clock against a naive policy on the same arrivals.
 *
 * <p>No simulator of a cluster: arrivals, a model of service times, late reports and the decision
 * modules themselves; no modelled network stack, processes or failure injector. Reach for {@link
 * io.marigoldsail.testlib.measure.MeasurePattern} to add a load pattern, and list it in {@link
 * io.marigoldsail.testlib.measure.MeasurePatterns}.
 */
package io.marigoldsail.testlib.measure;
