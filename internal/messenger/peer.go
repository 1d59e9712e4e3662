package messenger

// PeerMessage is one control message of the scheduler between routers. It is a
// union: exactly one field is set. Codecs write it as an array, so the order
// of the fields is part of the format between routers.
type PeerMessage struct {
	_ struct{} `codec:",toarray"`
	// Service reports the service that the sender gave to client accounts.
	Service []ServiceReport
	// Control is what the sender says in its roles for the receiver.
	Control *Control
}

// ServiceReport is the service one router gave one client account in one pool.
type ServiceReport struct {
	_       struct{} `codec:",toarray"`
	Account AccountID
	Pool    PoolID
	// Tokens is the sum since the sender started.
	Tokens float64
}
