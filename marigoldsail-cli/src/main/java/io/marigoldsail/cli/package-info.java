/** The operators' command-line tool. */
package io.marigoldsail.cli;
