/**
 * Who is there: announcements of VMs and their targets, with incarnations and deadlines.
 *
 * <p>Reach for {@link io.marigoldsail.membership.MemberTable} to learn which targets may get work.
 */
package io.marigoldsail.membership;
