package messenger

// PeerMessage is one control message of the scheduler between routers. Codecs
// write it as an array, so the order of the fields is part of the format
// between routers.
type PeerMessage struct {
	_ struct{} `codec:",toarray"`
	// Control is what the sender says in its roles for the receiver.
	Control *Control
}
