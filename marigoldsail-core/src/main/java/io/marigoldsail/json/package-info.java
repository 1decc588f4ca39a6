/**
 * Shared JSON support: a strict reader, schema validation and problem details.
 *
 * <p>Use {@link io.marigoldsail.json.Json} to read and write, {@link
 * io.marigoldsail.json.SchemaCheck} to validate a document against a schema, and {@link
 * io.marigoldsail.json.ProblemDetails} for error responses.
 */
package io.marigoldsail.json;
