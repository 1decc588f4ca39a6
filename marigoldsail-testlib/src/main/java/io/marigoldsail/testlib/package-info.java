/**
 * Test doubles of the system's environment, and utilities shared by tests.
 *
 * <p>Production code does not depend on this package.
 */
package io.marigoldsail.testlib;
