/**
 * Workflow ids in records and messages, also in the forms of earlier versions, which identified a
 * workflow by the number that its digits form.
 */
package io.marigoldsail.daemon.identity;
