/** Stand-in for the table service: the DynamoDB JSON protocol, in memory. */
import {
  startStandinServer,
  type Standin,
  type StandinAddress,
  type StandinResponse,
  type StandinRequest,
} from '../core/startStandinServer.js';
import type { AttributeValue, Item } from './attributeValues.js';
import { holds, type Placeholders } from './expressions.js';
import { invalid, ServiceError } from './ServiceError.js';
import { TableRows, type TableWrite, type WriteKind, type WriteInput } from './TableRows.js';

/** Address and limits of the stand-in. */
export interface TableStandinOptions extends StandinAddress {
  /** Most rows that one page of a query has. */
  readonly pageRows?: number;
}

interface GetInput {
  readonly TableName: string;
  readonly Key: Item;
}

interface QueryInput extends Placeholders {
  readonly TableName: string;
  readonly KeyConditionExpression: string;
  readonly Limit?: number;
  readonly ScanIndexForward?: boolean;
  readonly ExclusiveStartKey?: Item;
}

interface TransactInput {
  readonly TransactItems: readonly Partial<Record<WriteKind, WriteInput>>[];
  readonly ClientRequestToken?: string;
}

type Operation = (rows: TableRows, order: unknown) => unknown;

const DEFAULT_PAGE_ROWS = 1000;
const TARGET_PREFIX = 'DynamoDB_20120810.';
const CONTENT_TYPE = 'application/x-amz-json-1.0';

const listWrites = ({ TransactItems }: TransactInput): TableWrite[] =>
  TransactItems.map((item) => {
    const [entry] = Object.entries(item) as [WriteKind, WriteInput][];
    if (!entry) throw invalid('an empty member of a transaction');
    return { kind: entry[0], order: entry[1] };
  });

const createWriteOperation =
  (kind: WriteKind): Operation =>
  (rows, order) => {
    rows.write({ kind, order: order as WriteInput });
    return {};
  };

/** Value that a key condition compares the partition key with. */
const getPartitionKey = (order: QueryInput): AttributeValue => {
  const [, name = '', value = ''] = /(#?\w+)\s*=\s*(:\w+)/.exec(order.KeyConditionExpression) ?? [];
  const attribute = order.ExpressionAttributeNames?.[name] ?? name;
  const key = order.ExpressionAttributeValues?.[value];
  if (attribute !== 'pk' || !key) throw invalid('a query names one partition');
  return key;
};

const skipToStartKey = (
  items: readonly Item[],
  start: Item | undefined,
  forward: boolean,
): Item[] => {
  if (!start) return [...items];
  const from = Buffer.from(String(start.sk?.S));
  return items.filter((item) => {
    const order = Buffer.compare(Buffer.from(String(item.sk?.S)), from);
    return forward ? order > 0 : order < 0;
  });
};

const query = (rows: TableRows, order: QueryInput, pageRows: number): unknown => {
  const forward = order.ScanIndexForward ?? true;
  const sorted = rows.listPartition(order.TableName, getPartitionKey(order));
  const found = (forward ? sorted : sorted.reverse()).filter((item) =>
    holds(order.KeyConditionExpression, order, item),
  );
  const rest = skipToStartKey(found, order.ExclusiveStartKey, forward);
  const page = rest.slice(0, Math.min(order.Limit ?? pageRows, pageRows));
  const last = page.at(-1);
  const hasMore = last !== undefined && page.length < rest.length;
  return {
    Items: page,
    Count: page.length,
    ...(hasMore ? { LastEvaluatedKey: { pk: last.pk, sk: last.sk } } : {}),
  };
};

const createOperations = (pageRows: number): Readonly<Record<string, Operation>> => ({
  GetItem: (rows, order) => {
    const { TableName, Key } = order as GetInput;
    const item = rows.get(TableName, Key);
    return item ? { Item: item } : {};
  },
  PutItem: createWriteOperation('Put'),
  UpdateItem: createWriteOperation('Update'),
  DeleteItem: createWriteOperation('Delete'),
  Query: (rows, order) => query(rows, order as QueryInput, pageRows),
  TransactWriteItems: (rows, order) => {
    const transaction = order as TransactInput;
    rows.transact(listWrites(transaction), transaction.ClientRequestToken);
    return {};
  },
});

const readOperations: ReadonlySet<string> = new Set(['GetItem', 'Query']);

const getOperationName = ({ headers }: StandinRequest): string =>
  String(headers['x-amz-target']).replace(TARGET_PREFIX, '');

const createErrorResponse = ({
  type,
  message,
  members,
  status,
}: ServiceError): StandinResponse => ({
  status,
  headers: { 'content-type': CONTENT_TYPE },
  body: JSON.stringify({
    __type: `com.amazonaws.dynamodb.v20120810#${type}`,
    message,
    ...members,
  }),
});

/** Answer of a transaction that met another one on the same rows. */
const contentionError = new ServiceError(
  'TransactionCanceledException',
  'Transaction cancelled, please refer cancellation reasons for specific reasons [TransactionConflict]',
  { CancellationReasons: [{ Code: 'TransactionConflict', Message: 'Transaction is ongoing' }] },
);

/** Names of the exceptions of the fault `refuse`, by HTTP status. */
const errorTypes = new Map([
  [400, 'ProvisionedThroughputExceededException'],
  [500, 'InternalServerError'],
  [503, 'ServiceUnavailable'],
]);

/**
 * Starts the stand-in for the table service. Every table name exists, with keys `pk` and `sk`.
 *
 * @param options - address and limits
 * @returns the running stand-in
 */
export const startTableStandin = async (options: TableStandinOptions): Promise<Standin> => {
  const rows = new TableRows();
  const operations = createOperations(options.pageRows ?? DEFAULT_PAGE_ROWS);
  return startStandinServer(options, {
    isWrite: (request) => !readOperations.has(getOperationName(request)),
    onArrival(request) {
      if (getOperationName(request) !== 'TransactWriteItems') return () => undefined;
      const { ClientRequestToken } = JSON.parse(request.body.toString()) as TransactInput;
      return ClientRequestToken === undefined
        ? () => undefined
        : rows.recordArrival(ClientRequestToken);
    },
    handle(request) {
      const operation = operations[getOperationName(request)];
      try {
        if (!operation) throw invalid(`no operation ${getOperationName(request)}`);
        const answer = operation(rows, JSON.parse(request.body.toString()));
        return {
          status: 200,
          headers: { 'content-type': CONTENT_TYPE },
          body: JSON.stringify(answer),
        };
      } catch (fault) {
        if (fault instanceof ServiceError) return createErrorResponse(fault);
        throw fault;
      }
    },
    refuse(wanted) {
      if (wanted === 'contention') return createErrorResponse(contentionError);
      const status = wanted === true ? 400 : wanted;
      const type = errorTypes.get(status) ?? 'UnknownError';
      return createErrorResponse(new ServiceError(type, 'refused', {}, status));
    },
  });
};
