/** Membership that a scenario lists. */
import type { Membership } from '@jacinthlug/control/Membership';
import type { Member } from '@jacinthlug/protocol/members';

/** Members that the scenario lists. */
export const fakeMembership = (members: () => readonly Member[]): Membership => ({
  all: members,
  liveEntries: () => [],
  liveAgents: (service) =>
    members().filter((member) => member.service === service && member.state === 'live'),
  update: () => undefined,
});
