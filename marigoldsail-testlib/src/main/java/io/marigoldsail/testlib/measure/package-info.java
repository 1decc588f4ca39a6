/**
 * Measures the decision modules on a virtual clock against a baseline policy with the same
 * arrivals.
 *
 * <p>Models arrivals, service times and delayed reports around the production decision modules;
 * does not model the network stack, processes or failure injection. To add a load pattern,
 * implement {@link io.marigoldsail.testlib.measure.MeasurePattern} and list it in {@link
 * io.marigoldsail.testlib.measure.MeasurePatterns}.
 */
package io.marigoldsail.testlib.measure;
