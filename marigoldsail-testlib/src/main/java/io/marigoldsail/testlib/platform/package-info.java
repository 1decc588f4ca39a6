/**
 * Small stand-ins for what the platform gives: log service, target and worker.
 *
 * <p>Reach for the {@code Fake} classes in a test that runs in one thread or one process, and for
 * the {@code StandIn} ones, which serve the same over HTTP, where real processes meet. Their faults
 * are switched over {@code POST /admin/faults}, with a JSON object that names only what changes.
 */
package io.marigoldsail.testlib.platform;
