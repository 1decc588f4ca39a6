/**
 * The configuration over HTTP: the operators' routes, and fetching the configuration from peers
 * while the log is unavailable.
 */
package io.marigoldsail.daemon.configuration;
