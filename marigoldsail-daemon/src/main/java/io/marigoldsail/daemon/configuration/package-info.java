/**
 * The configuration over HTTP: operators' routes, and asking peers on start while the log is down.
 */
package io.marigoldsail.daemon.configuration;
