/**
 * Stand-ins for what the system meets, and tools that tests share.
 *
 * <p>Nothing of the product depends on this package.
 */
package io.marigoldsail.testlib;
