/**
 * Membership: announcements of VMs and their targets, with incarnations and deadlines.
 *
 * <p>Use {@link io.marigoldsail.membership.MemberTable} to find the targets that requests may be
 * sent to.
 */
package io.marigoldsail.membership;
