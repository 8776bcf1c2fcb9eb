/** Fake membership with the members of a scenario. */
import type { Membership } from '@jacinthlug/control/Membership';
import type { Member } from '@jacinthlug/protocol/members';

/** Creates a membership with the given members. */
export const fakeMembership = (members: () => readonly Member[]): Membership => ({
  all: members,
  liveEntries: () => [],
  liveAgents: (service) =>
    members().filter((member) => member.service === service && member.state === 'live'),
  update: () => undefined,
});
