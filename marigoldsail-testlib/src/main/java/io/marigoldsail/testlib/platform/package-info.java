/**
 * Test doubles of the platform: log service, target and worker.
 *
 * <p>The {@code Fake} classes are in memory, for tests in one process. The {@code StandIn} classes
 * serve the same over HTTP, for tests with several processes. Their faults are set with {@code POST
 * /admin/faults} and a JSON object of the fields to change.
 */
package io.marigoldsail.testlib.platform;
