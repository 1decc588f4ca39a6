/**
 * What every HTTP server of a process does with the bodies of requests, and the threads of HTTP
 * clients and servers.
 *
 * <p>Reach for {@link io.marigoldsail.daemon.http.BoundedBodyReader} to read a short body, and for
 * {@link io.marigoldsail.daemon.http.BodyDrainer} before a request is refused whose body is still
 * coming.
 */
package io.marigoldsail.daemon.http;
