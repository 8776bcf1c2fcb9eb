/** Dependencies of the operator endpoints. */
import type { Editor } from '@jacinthlug/control/edits/createEditor';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { Membership } from '@jacinthlug/control/Membership';
import type { Table } from '@jacinthlug/backing/Table';
import type { Metrics } from '@jacinthlug/catalog/Metrics';

/** Dependencies of the operator endpoints. */
export interface OperatorDependencies {
  /** Name of this host. */
  readonly name: string;
  readonly editor: Editor;
  readonly follower: ConfigurationFollower;
  readonly membership: Membership;
  readonly table: Table;
  readonly metrics: Metrics;
  /** Credential that the secrets of keys are derived from. It is the same on every entry host. */
  readonly fleetCredential: string;
  /** Returns the wall-clock time; `Date.now` by default. Unit: ms since 1970. */
  readonly wallNow?: () => number;
}
