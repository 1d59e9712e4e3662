package messenger

// PeerMessage is a control message that the scheduler of one router sends to another router.
// Codecs write it as an array, so the order of the fields is part of the wire format.
type PeerMessage struct {
	_ struct{} `codec:",toarray"`
	// Control holds the sender's state, as far as it concerns the receiver.
	Control *Control
}
