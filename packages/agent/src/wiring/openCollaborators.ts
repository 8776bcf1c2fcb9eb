/** Constructs the parts of the agent that other packages implement. */
import type { CollaboratorContext, Collaborators } from './Collaborators.js';

/**
 * Constructs the configuration follower, the membership and the batch worker.
 *
 * @param context - what they may use
 * @returns the parts
 */
export const openCollaborators = ({ settings }: CollaboratorContext): Collaborators => {
  throw new Error(`no configuration follower is linked for ${settings.name}`);
};
