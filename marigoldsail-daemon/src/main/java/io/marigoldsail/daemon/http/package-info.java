/**
 * Reading of request bodies for all HTTP servers of a process, and thread pools for HTTP clients
 * and servers.
 *
 * <p>{@link io.marigoldsail.daemon.http.BoundedBodyReader} reads a short body. {@link
 * io.marigoldsail.daemon.http.BodyDrainer} drains the body of a request that is refused before its
 * body has arrived.
 */
package io.marigoldsail.daemon.http;
