/**
 * JSON shared by all slices: one strict reader, checks against a schema, and problem details.
 *
 * <p>Reach for {@link io.marigoldsail.json.Json} to read and write, for {@link
 * io.marigoldsail.json.SchemaCheck} to hold a document against a published schema, and for {@link
 * io.marigoldsail.json.ProblemDetails} to answer an error.
 */
package io.marigoldsail.json;
