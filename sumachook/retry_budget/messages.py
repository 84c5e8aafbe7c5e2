"""Messages that report retry credit and transfer it between edges."""

from sumachook.transport.node_message import NodeMessage


class CreditReport(NodeMessage, frozen=True, tag="retry_credit"):
    """Edge to broker: (balance, retries denied since the last report) by service key."""

    balances: dict[str, tuple[float, int]]


class LendCredit(NodeMessage, frozen=True, tag="retry_lend"):
    """Broker to lending edge: requests a transfer of up to `amount` credits to the edge at `receiver_address`."""

    service_key: str
    loan_id: str
    amount: float
    receiver_address: str


class CreditTransfer(NodeMessage, frozen=True, tag="retry_gift"):
    """Lending edge to receiving edge: transfers `amount` credits, already deducted from the lender's balance."""

    service_key: str
    loan_id: str
    amount: float
